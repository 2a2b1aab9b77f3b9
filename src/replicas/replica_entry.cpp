#include "replicas/replica_entry.h"

namespace azurehill {

replica_entry latestEntry(const replica_entry &known, const replica_entry &read)
{
    const std::int64_t knownStart = known.incarnation.startedUnixMs;
    const std::int64_t readStart = read.incarnation.startedUnixMs;
    if (readStart != knownStart)
        return readStart > knownStart ? read : known;
    // Without a birth a lower number may as well be a new start that can't be told from the old
    // one.
    const bool isOlder = readStart != 0 && read.sequence < known.sequence;
    replica_entry latest = isOlder ? known : read;
    latest.draining = known.draining || read.draining;
    return latest;
}

} // namespace azurehill
