package mesh

import (
	"github.com/go-faster/errors"

	"celerybank/internal/configlog"
)

// KindImport is a record that installs the state of another log into an empty log. Its subject
// is SubjectConfig, so that it is superseded by a publication that was appended first.
const KindImport configlog.Kind = "import"

// Import is the body of a KindImport record.
type Import struct {
	// State is the encoded state of the other log, compressed by configlog.Pack.
	State []byte `json:"state"`
	// Version is the version of that state in the other log.
	Version int64 `json:"version"`
}

// applyImport replaces s by the imported state. Versions are offsets of this log: every
// version within the imported state becomes the offset of the import record, so that none
// is ahead of the log and later ones are higher.
func (s *State) applyImport(m Import, offset int64) error {
	if s.Inventory.Mesh != "" || len(s.Current) > 0 {
		return errors.New("the log is not empty: it belongs to mesh " + s.Inventory.Mesh)
	}
	text, err := configlog.Unpack(m.State)
	if err != nil {
		return err
	}
	in, err := Decode(text)
	if err != nil {
		return err
	}
	if in.Version != m.Version {
		return errors.Errorf("imported state has version %d, want %d", in.Version, m.Version)
	}
	if err := in.CheckConfig(in.Inventory, in.Rules); err != nil {
		return err
	}
	in.rebase(offset)
	in.Version, in.Chain, in.IDs = s.Version, s.Chain, s.IDs
	in.Groups = s.Groups // the nodes of the other log hold no claims in this mesh
	*s = *in
	return nil
}

// rebase sets every version within s to offset. s must not share its maps with other states.
func (s *State) rebase(offset int64) {
	for subject := range s.Current {
		s.Current[subject] = offset
	}
	for key, r := range s.Rollouts {
		r.Accepted, r.Changed = offset, offset
		s.Rollouts[key] = r
	}
	for zone, z := range s.ZonesOut {
		z.Version = offset
		s.ZonesOut[zone] = z
	}
}
