package mesh

import (
	"encoding/json"
	"maps"
)

const (
	// rememberedOffsets is the number of offsets for which the id of a record is retained. The
	// ids serve to report a duplicate and to keep a refused record refused when its append is
	// retried. An applied record cannot apply twice in any case, because its Prev is then outdated.
	rememberedOffsets = 4096
	// recentIDs limits the ids that every addition copies.
	recentIDs = 64
	// generationIDs is the size from which on a generation takes no more ids. It limits the ids
	// that every recentIDs-th addition copies.
	generationIDs = 512
)

// IDs is an immutable map from the ids of recent records to their offsets. An addition
// copies a small part of the ids. Which ids are retained depends on offsets alone, so that
// all nodes retain the same ones, whether they read the log or started from a snapshot.
type IDs struct {
	newest int64
	recent []recentID
	// older holds the generations, newest last. A generation is never modified.
	older []generation
}

type recentID struct {
	id     string
	offset int64
}

type generation struct {
	newest  int64
	offsets map[string]int64
}

// Offset returns the offset of the record with the given id, if the id is retained.
func (s IDs) Offset(id string) (int64, bool) {
	for _, r := range s.recent {
		if r.id == id && s.retains(r.offset) {
			return r.offset, true
		}
	}
	for i := len(s.older) - 1; i >= 0; i-- {
		if offset, ok := s.older[i].offsets[id]; ok {
			return offset, s.retains(offset)
		}
	}
	return 0, false
}

// retains reports whether the id of the record at offset is retained.
func (s IDs) retains(offset int64) bool { return offset > s.newest-rememberedOffsets }

// with returns a copy of s with id added.
func (s IDs) with(id string, offset int64) IDs {
	s.newest = offset
	if len(s.recent) == recentIDs {
		s.older, s.recent = s.merged(), nil
	}
	recent := make([]recentID, len(s.recent), len(s.recent)+1)
	copy(recent, s.recent)
	s.recent = append(recent, recentID{id, offset})
	return s
}

// merged returns the generations with the recent ids added and the expired generations left out.
func (s IDs) merged() []generation {
	var out []generation
	for _, g := range s.older {
		if s.retains(g.newest) {
			out = append(out, g)
		}
	}
	last := generation{offsets: make(map[string]int64, recentIDs)}
	if n := len(out); n > 0 && len(out[n-1].offsets) < generationIDs {
		last.offsets = maps.Clone(out[n-1].offsets)
		out = out[:n-1]
	}
	for _, r := range s.recent {
		last.offsets[r.id], last.newest = r.offset, r.offset
	}
	return append(out, last)
}

// all returns every retained id with its offset.
func (s IDs) all() map[string]int64 {
	out := make(map[string]int64, len(s.recent)+len(s.older)*generationIDs)
	for _, g := range s.older {
		for id, offset := range g.offsets {
			if s.retains(offset) {
				out[id] = offset
			}
		}
	}
	for _, r := range s.recent {
		out[r.id] = r.offset
	}
	return out
}

// MarshalJSON encodes s as an object that maps ids to offsets.
func (s IDs) MarshalJSON() ([]byte, error) { return json.Marshal(s.all()) }

// UnmarshalJSON decodes the output of MarshalJSON.
func (s *IDs) UnmarshalJSON(text []byte) error {
	all := map[string]int64{}
	if err := json.Unmarshal(text, &all); err != nil {
		return err
	}
	*s = IDs{}
	for _, offset := range all {
		s.newest = max(s.newest, offset)
	}
	if len(all) > 0 {
		s.older = []generation{{newest: s.newest, offsets: all}}
	}
	return nil
}
