package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"celerybank/internal/configlog"
	"celerybank/internal/duration"
	"celerybank/internal/mesh"
)

// exportFormat is the version of the format of export files.
const exportFormat = 1

// Errors of an import.
var (
	// ErrLogNotEmpty means that the log already has records.
	ErrLogNotEmpty = errors.New("the log is not empty; an import needs an empty log")
	// ErrInvalidExport means that a file is no export file, has another format, or is altered or truncated.
	ErrInvalidExport = errors.New("not a valid export file")
)

// exportFile is the content of an export file. Body is an Export; Sum is the hexadecimal xxHash64 of
// Body as compact JSON.
type exportFile struct {
	Format int             `json:"format"`
	Sum    string          `json:"sum"`
	Body   json.RawMessage `json:"body"`
}

// Export has everything that a new operator needs to continue a mesh.
type Export struct {
	Time    time.Time `json:"time"`
	Version int64     `json:"version"`
	// State is the whole agreed state, such as the inventory, the rules, rollouts and zone orders.
	State *mesh.State `json:"state"`
	// History has the records that the logs of all operators retain, oldest operator first.
	History []RetainedLog `json:"history"`
}

// RetainedLog has the records that the log of one operator retains.
type RetainedLog struct {
	Mesh    string            `json:"mesh"`
	Entries []configlog.Entry `json:"entries"`
}

// contentHash returns the hexadecimal xxHash64 of body as compact JSON.
func contentHash(body []byte) (string, error) {
	var b bytes.Buffer
	if err := json.Compact(&b, body); err != nil {
		return "", err
	}
	return strconv.FormatUint(xxhash.Sum64(b.Bytes()), 16), nil
}

// Export returns the mesh as the content of an export file.
func (c *LogClient) Export(ctx context.Context) ([]byte, error) {
	st, err := c.State(ctx)
	if err != nil {
		return nil, err
	}
	history, err := c.history(ctx)
	if err != nil {
		return nil, err
	}
	own, err := c.readAll(ctx, configlog.MeshStream, configlog.OffsetOf(st.Version))
	if err != nil {
		return nil, err
	}
	history = append(history, RetainedLog{st.Inventory.Mesh, own})
	body, err := json.Marshal(Export{Time: time.Now().UTC(), Version: st.Version, State: st, History: history})
	if err != nil {
		return nil, err
	}
	sum, err := contentHash(body)
	if err != nil {
		return nil, err
	}
	return json.MarshalIndent(exportFile{exportFormat, sum, body}, "", " ")
}

// entriesPerRead is the maximum number of entries that one read of the log returns.
const entriesPerRead = 1000

// readAll returns the entries that a stream retains, up to the offset last, or all if last is 0.
func (c *LogClient) readAll(ctx context.Context, stream string, last int64) ([]configlog.Entry, error) {
	var out []configlog.Entry
	for from := int64(1); ; {
		page, err := c.log.Read(ctx, stream, from, entriesPerRead, 0)
		if err != nil {
			return nil, err
		}
		for _, e := range page.Entries {
			if last > 0 && e.Offset > last {
				return out, nil
			}
			out, from = append(out, e), e.Offset+1
		}
		if len(page.Entries) == 0 {
			return out, nil
		}
	}
}

// ParseExport decodes an export file and returns it with its content hash. Errors wrap ErrInvalidExport.
func ParseExport(text []byte) (Export, string, error) {
	var f exportFile
	if err := json.Unmarshal(text, &f); err != nil {
		return Export{}, "", errors.Wrap(ErrInvalidExport, err.Error())
	}
	if f.Format != exportFormat {
		return Export{}, "", errors.Wrapf(ErrInvalidExport, "format %d, want %d", f.Format, exportFormat)
	}
	sum, err := contentHash(f.Body)
	if err != nil || sum != f.Sum {
		return Export{}, "", errors.Wrapf(ErrInvalidExport, "content hash %s, want %s", sum, f.Sum)
	}
	x := Export{State: mesh.Empty()}
	if err := json.Unmarshal(f.Body, &x); err != nil {
		return Export{}, "", errors.Wrap(ErrInvalidExport, err.Error())
	}
	return x, sum, nil
}

// Import appends the mesh of an export file to an empty log and returns the version at which it takes
// effect. It may be retried after a failure: a file that was imported before is not imported again.
// A log with other records is ErrLogNotEmpty, an invalid file ErrInvalidExport; for other errors see
// AppendAndConfirm.
func (c *LogClient) Import(ctx context.Context, text []byte) (int64, error) {
	x, sum, err := ParseExport(text)
	if err != nil {
		return 0, err
	}
	st, err := c.State(ctx)
	if err != nil {
		return 0, err
	}
	id := "import-" + sum
	if offset, ok := st.IDs.Offset(id); ok && st.Current[mesh.SubjectConfig] >= offset {
		return offset, nil
	}
	if st.Version > 0 {
		return 0, ErrLogNotEmpty
	}
	if err := c.appendHistory(ctx, sum, x.History); err != nil {
		return 0, err
	}
	state, err := x.State.Encode()
	if err != nil {
		return 0, err
	}
	rec, err := configlog.NewRecord(mesh.KindImport, mesh.SubjectConfig, 0, c.author, mesh.Import{State: configlog.Pack(state), Version: x.Version})
	if err != nil {
		return 0, err
	}
	rec.ID = id
	return c.AppendAndConfirm(ctx, st, rec)
}

// historyRecordBytes limits the size of a historyRecord: from this size of its entries on, further
// entries go into a new one.
const historyRecordBytes = 128 << 10

// historyRecord is a record of the history stream: consecutive entries of an earlier log.
type historyRecord struct {
	// Import is the content hash of the export file. Together with Log and the offsets of Entries it
	// identifies duplicates, which a retried import appends.
	Import string `json:"import"`
	// Log is the index in Export.History.
	Log     int               `json:"era"`
	Mesh    string            `json:"mesh"`
	Entries []configlog.Entry `json:"entries"`
}

// appendHistory appends the records of earlier logs to the history stream. sum is the content hash of
// the export file.
func (c *LogClient) appendHistory(ctx context.Context, sum string, logs []RetainedLog) error {
	for i, log := range logs {
		rec := historyRecord{Import: sum, Log: i, Mesh: log.Mesh}
		size := 0
		flush := func() error {
			data, err := json.Marshal(rec)
			if err == nil {
				err = c.appendWithRetry(ctx, configlog.HistoryStream, data)
			}
			rec.Entries, size = nil, 0
			return err
		}
		for _, e := range log.Entries {
			rec.Entries = append(rec.Entries, e)
			if size += len(e.Data); size >= historyRecordBytes {
				if err := flush(); err != nil {
					return err
				}
			}
		}
		if err := flush(); err != nil {
			return err
		}
	}
	return nil
}

// appendWithRetry appends data until the log confirms it, for confirmTimeout at most. The stream may
// then contain it more than once.
func (c *LogClient) appendWithRetry(ctx context.Context, stream string, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	for delay := minRetryDelay; ; delay = min(2*delay, maxRetryDelay) {
		_, err := c.log.Append(ctx, stream, data)
		if err == nil {
			return nil
		}
		if !duration.Sleep(ctx, delay) {
			return errors.Wrap(err, stream)
		}
	}
}

// history returns the records of earlier logs from the history stream, without duplicates and without
// entries that cannot be decoded.
func (c *LogClient) history(ctx context.Context) ([]RetainedLog, error) {
	entries, err := c.readAll(ctx, configlog.HistoryStream, 0)
	if err != nil {
		return nil, err
	}
	var out []RetainedLog
	index := map[string]int{}
	newest := map[string]int64{}
	for _, e := range entries {
		var rec historyRecord
		if json.Unmarshal(e.Data, &rec) != nil {
			continue
		}
		key := fmt.Sprintf("%s/%d", rec.Import, rec.Log)
		if _, ok := index[key]; !ok {
			index[key] = len(out)
			out = append(out, RetainedLog{Mesh: rec.Mesh})
		}
		for _, old := range rec.Entries {
			if old.Offset > newest[key] {
				newest[key] = old.Offset
				out[index[key]].Entries = append(out[index[key]].Entries, old)
			}
		}
	}
	return out, nil
}
