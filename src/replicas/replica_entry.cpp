#include "replicas/replica_entry.h"

namespace azurehill {

replica_entry latestEntry(const replica_entry &known, const replica_entry &read)
{
    const std::int64_t knownBorn = known.incarnation.bornUnixMs;
    const std::int64_t readBorn = read.incarnation.bornUnixMs;
    if (readBorn != knownBorn)
        return readBorn > knownBorn ? read : known;
    // Without a birth a lower number may as well be a new start that can't be told from the old
    // one.
    const bool isOlder = readBorn != 0 && read.sequence < known.sequence;
    replica_entry latest = isOlder ? known : read;
    latest.draining = known.draining || read.draining;
    return latest;
}

} // namespace azurehill
