package gossip

import (
	"net/netip"
	"strings"
	"time"
	"unique"

	"github.com/go-faster/errors"
	"github.com/klauspost/compress/zstd"
	"github.com/vmihailenco/msgpack/v5"
)

// memberWire is a Member between nodes. Version is left out: it changes with every
// record, and a broadcast for each node and record would cost more than all else.
type memberWire struct {
	Addr        string
	Name        string
	Zone        string
	Region      string
	Admin       string
	Callers     string
	Incarnation uint64
	Status      Status
	Draining    bool
	Service     string
	Build       string
	Instance    string
	Slots       int
	Since       int64
}

// rumour says that From could not reach the member at Addr with that incarnation.
type rumour struct {
	Addr        string
	Incarnation uint64
	From        string
}

type factWire struct {
	Kind string
	Key  string
	Seq  int64
	Body []byte
	// Expires is in unix milliseconds.
	Expires int64
}

// news is what one message carries besides its own purpose.
type news struct {
	Members []memberWire `msgpack:"m,omitempty"`
	Rumours []rumour     `msgpack:"r,omitempty"`
	Facts   []factWire   `msgpack:"f,omitempty"`
}

func (n *news) empty() bool { return len(n.Members)+len(n.Rumours)+len(n.Facts) == 0 }

// encodeArray writes v, a pointer to a struct, without the names of its fields.
func encodeArray(enc *msgpack.Encoder, v any) error {
	enc.UseArrayEncodedStructs(true)
	defer enc.UseArrayEncodedStructs(false)
	return enc.Encode(v)
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (w *memberWire) EncodeMsgpack(enc *msgpack.Encoder) error {
	type plain memberWire
	return encodeArray(enc, (*plain)(w))
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (r *rumour) EncodeMsgpack(enc *msgpack.Encoder) error {
	type plain rumour
	return encodeArray(enc, (*plain)(r))
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (f *factWire) EncodeMsgpack(enc *msgpack.Encoder) error {
	type plain factWire
	return encodeArray(enc, (*plain)(f))
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (b *Belief) EncodeMsgpack(enc *msgpack.Encoder) error {
	type plain Belief
	return encodeArray(enc, (*plain)(b))
}

// shorten drops the IP of addr when it is that of base.
func shorten(base, addr string) string {
	i := strings.LastIndexByte(base, ':')
	if i > 0 && strings.HasPrefix(addr, base[:i+1]) {
		return addr[i:]
	}
	return addr
}

func lengthen(base, addr string) string {
	i := strings.LastIndexByte(base, ':')
	if i > 0 && strings.HasPrefix(addr, ":") {
		return base[:i] + addr
	}
	return addr
}

func toWire(x Member) memberWire {
	u := x.Upstream
	return memberWire{Addr: x.Addr, Name: x.Name, Zone: x.Zone, Region: x.Region,
		Admin: shorten(x.Addr, x.Admin), Callers: shorten(x.Addr, x.Callers),
		Incarnation: x.Incarnation, Status: x.Status, Draining: x.Draining,
		Service: u.Service, Build: u.Version, Instance: u.Instance, Slots: u.Slots, Since: u.Since}
}

// intern returns one shared copy of a string that many members have.
func intern(s string) string { return unique.Make(s).Value() }

func fromWire(w *memberWire) Member {
	return Member{Addr: w.Addr, Name: w.Name, Zone: intern(w.Zone), Region: intern(w.Region),
		Admin: lengthen(w.Addr, w.Admin), Callers: lengthen(w.Addr, w.Callers),
		Incarnation: w.Incarnation, Status: min(w.Status, Left), Draining: w.Draining,
		Upstream: Upstream{Service: intern(w.Service), Version: intern(w.Build), Instance: w.Instance, Slots: w.Slots, Since: w.Since}}
}

func (w *memberWire) valid() bool {
	_, err := netip.ParseAddrPort(w.Addr)
	return err == nil
}

func factToWire(f Fact) factWire {
	return factWire{Kind: f.Kind, Key: f.Key, Seq: f.Seq, Body: f.Body, Expires: f.Expires.UnixMilli()}
}

func factFromWire(w factWire) Fact {
	return Fact{Kind: w.Kind, Key: w.Key, Seq: w.Seq, Body: w.Body, Expires: time.UnixMilli(w.Expires)}
}

// Encoding of a pack: its first byte says whether the rest is compressed.
const (
	packPlain      = 0
	packCompressed = 1
	// compressAbove is the size in bytes from which compression pays.
	compressAbove = 400
	// maxPack bounds a pack after decompression, in bytes.
	maxPack = 8 << 20
	// packWindow is the compression window in bytes, above pageBytes; it bounds the memory of both sides.
	// The fastest level keeps one small table, where the next one keeps 1.3 MB in every node.
	packWindow = 64 << 10
)

// errPack reports a pack that cannot be read.
var errPack = errors.New("gossip: unreadable news")

var (
	packEncoder    = newPackEncoder()
	packDecoder, _ = zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxPack))
)

// newPackEncoder returns an encoder that has done its lazy set-up.
func newPackEncoder() *zstd.Encoder {
	e, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest),
		zstd.WithLowerEncoderMem(true), zstd.WithWindowSize(packWindow), zstd.WithEncoderCRC(false))
	if err != nil {
		panic(err) // the options are constants
	}
	e.EncodeAll([]byte{0}, nil)
	return e
}

// encode returns the pack of n, nil for nothing.
func (n *news) encode() []byte {
	if n.empty() {
		return nil
	}
	raw, err := msgpack.Marshal(n)
	if err != nil {
		return nil
	}
	if len(raw) < compressAbove {
		return append([]byte{packPlain}, raw...)
	}
	return packEncoder.EncodeAll(raw, []byte{packCompressed})
}

func decodeNews(pack []byte) (n news, err error) {
	if len(pack) == 0 {
		return n, nil
	}
	raw := pack[1:]
	if pack[0] == packCompressed {
		if raw, err = packDecoder.DecodeAll(raw, nil); err != nil {
			return n, errors.Wrap(errPack, err.Error())
		}
	}
	if err := msgpack.Unmarshal(raw, &n); err != nil {
		return n, errors.Wrap(errPack, err.Error())
	}
	return n, nil
}
