package configlog

// A version is a position in a log as one number: the era in its upper bits, the offset in its lower
// ones. Versions only grow, also when a log comes back from an older copy and assigns offsets again.
// In the first era, and for a log that does not tell its era, a version is the offset.

// offsetBits is the number of bits of a version that hold the offset.
const offsetBits = 40

// VersionAt returns the version of an offset in an era.
func VersionAt(era, offset int64) int64 { return max(era-1, 0)<<offsetBits | offset }

// OffsetOf returns the offset of a version in its era.
func OffsetOf(version int64) int64 { return version & (1<<offsetBits - 1) }

// EraOf returns the era of a version: 1 if the log does not tell.
func EraOf(version int64) int64 { return version>>offsetBits + 1 }

// Versions returns p with versions in place of offsets.
func (p Page) Versions() Page {
	out := Page{Era: p.Era, First: VersionAt(p.Era, p.First), Next: VersionAt(p.Era, p.Next)}
	for _, e := range p.Entries {
		out.Entries = append(out.Entries, Entry{Offset: VersionAt(p.Era, e.Offset), Data: e.Data})
	}
	return out
}
