#include "replicas/replica_entry.h"

namespace azurehill {

replica_entry latestEntry(const replica_entry &known, const replica_entry &read)
{
    const std::int64_t knownStart = known.incarnation.startedUnixMs;
    const std::int64_t readStart = read.incarnation.startedUnixMs;
    if (readStart != knownStart)
        return readStart > knownStart ? read : known;
    // Without a start time, a lower sequence number may also belong to a new process, which can't
    // be distinguished from the old one.
    const bool isOlder = readStart != 0 && read.sequence < known.sequence;
    replica_entry latest = isOlder ? known : read;
    latest.draining = known.draining || read.draining;
    latest.drainDeadline = known.draining ? known.drainDeadline : read.drainDeadline;
    latest.drainNotBefore = known.draining ? known.drainNotBefore : read.drainNotBefore;
    return latest;
}

} // namespace azurehill
