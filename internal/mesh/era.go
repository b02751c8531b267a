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
	idAt := make(map[int64]string, len(known))
	for id, version := range known {
		idAt[version] = id
	}
	var lost []string
	for subject, version := range s.Current {
		id, remembered := idAt[version]
		if _, found := kept[id]; !remembered || found {
			continue
		}
		if id, ok := restored.currentID(subject, kept); ok {
			if _, old := known[id]; !old {
				continue
			}
		}
		lost = append(lost, subject)
	}
	return lost
}

// currentID returns the id of the current record of a subject, if ids, the ids of s, still has it.
func (s *State) currentID(subject string, ids map[string]int64) (string, bool) {
	for id, version := range ids {
		if version == s.Current[subject] {
			return id, true
		}
	}
	return "", false
}
