package mesh

import "celerybank/internal/configlog"

// InEra returns s as the state at the same offset of the log in another era. The records up to that
// offset must be the same in both.
func (s *State) InEra(era int64) *State {
	next := *s
	next.Version = configlog.VersionAt(era, configlog.OffsetOf(s.Version))
	return &next
}

// LostSubjects returns the subjects whose current record in s is missing in restored, the state of the
// same log after it came back from an older copy, and about which no new record has been written there.
func (s *State) LostSubjects(restored *State) []string {
	known, kept := s.IDs.all(), restored.IDs.all()
	idAt, keptAt := byVersion(known), byVersion(kept)
	var lost []string
	for subject, version := range s.Current {
		id, remembered := idAt[version]
		if _, found := kept[id]; !remembered || found {
			continue
		}
		if id, ok := keptAt[restored.Current[subject]]; ok {
			if _, old := known[id]; !old {
				continue
			}
		}
		lost = append(lost, subject)
	}
	return lost
}

// byVersion returns the ids of records by their versions.
func byVersion(ids map[string]int64) map[int64]string {
	out := make(map[int64]string, len(ids))
	for id, version := range ids {
		out[version] = id
	}
	return out
}
