#include "daemon/control.h"

#include "core/log.h"

namespace azurehill {

namespace {

constexpr duration platformTimeout = seconds(1);

} // namespace

control::control(asio::io_context &context, const settings &s, const member &self,
                 std::function<void(running_call)> runCall)
    : m_context(context), m_settings(s), m_runCall(std::move(runCall)),
      m_platform(s.platform, platformTimeout), m_membership(self, s.lease),
      m_history(self.daemon, self.incarnation),
      m_heartbeats(context, {self.daemon, self.incarnation}, s.innerToken, {}),
      m_batcher(self.daemon, self.incarnation, s.commit),
      m_scheduler({}, self.dataCentre, stableHash(self.daemon.value)), m_commitTimer(context)
{ }

void control::start()
{
    spawn(m_context.get_executor(), "leaseLoop", leaseLoop());
    m_heartbeats.start();
    spawn(m_context.get_executor(), "membershipLoop", membershipLoop());
    spawn(m_context.get_executor(), "commitLoop", commitLoop());
    spawn(m_context.get_executor(), "configLoop", configLoop());
    spawn(m_context.get_executor(), "hostsLoop", hostsLoop());
    spawn(m_context.get_executor(), "schedulerLoop", schedulerLoop());
    spawn(m_context.get_executor(), "releaseLoop", releaseLoop());
}

} // namespace azurehill
