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

// memberWire is a Member on the wire. Version is left out: it changes with every record of
// the configuration, and a broadcast per node and record would cost more than all other
// control traffic.
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

// suspectWire is a suspicion on the wire: From could not reach the member at Addr with that
// incarnation.
type suspectWire struct {
	Addr        string
	Incarnation uint64
	From        string
}

// factWire is a Fact on the wire.
type factWire struct {
	Kind string
	Key  string
	Seq  int64
	Body []byte
	// Expires is in Unix milliseconds.
	Expires int64
}

// updates is the batch of updates in one message. Its encoded form is called a payload.
type updates struct {
	Members  []memberWire  `msgpack:"m,omitempty"`
	Suspects []suspectWire `msgpack:"r,omitempty"`
	Facts    []factWire    `msgpack:"f,omitempty"`
}

func (u *updates) empty() bool { return len(u.Members)+len(u.Suspects)+len(u.Facts) == 0 }

// encodeArray encodes v, a pointer to a struct, as an array, without field names.
func encodeArray(enc *msgpack.Encoder, v any) error {
	enc.UseArrayEncodedStructs(true)
	defer enc.UseArrayEncodedStructs(false)
	return enc.Encode(v)
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (w *memberWire) EncodeMsgpack(enc *msgpack.Encoder) error {
	if *w == (memberWire{}) {
		return enc.EncodeNil()
	}
	type plain memberWire
	return encodeArray(enc, (*plain)(w))
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (s *suspectWire) EncodeMsgpack(enc *msgpack.Encoder) error {
	type plain suspectWire
	return encodeArray(enc, (*plain)(s))
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

// EncodeMsgpack implements msgpack.CustomEncoder.
func (k *KnownEntry) EncodeMsgpack(enc *msgpack.Encoder) error {
	type plain KnownEntry
	return encodeArray(enc, (*plain)(k))
}

// shortenAddr returns addr without its IP if that equals the IP of base.
func shortenAddr(base, addr string) string {
	i := strings.LastIndexByte(base, ':')
	if i > 0 && strings.HasPrefix(addr, base[:i+1]) {
		return addr[i:]
	}
	return addr
}

// expandAddr reverses shortenAddr.
func expandAddr(base, addr string) string {
	i := strings.LastIndexByte(base, ':')
	if i > 0 && strings.HasPrefix(addr, ":") {
		return base[:i] + addr
	}
	return addr
}

func toWire(x Member) memberWire {
	u := x.Upstream
	return memberWire{Addr: x.Addr, Name: x.Name, Zone: x.Zone, Region: x.Region,
		Admin: shortenAddr(x.Addr, x.Admin), Callers: shortenAddr(x.Addr, x.Callers),
		Incarnation: x.Incarnation, Status: x.Status, Draining: x.Draining,
		Service: u.Service, Build: u.Version, Instance: u.Instance, Slots: u.Slots, Since: u.Since}
}

// intern returns a shared copy of s, to save memory for values that many members have.
func intern(s string) string { return unique.Make(s).Value() }

func fromWire(w *memberWire) Member {
	return Member{Addr: w.Addr, Name: w.Name, Zone: intern(w.Zone), Region: intern(w.Region),
		Admin: expandAddr(w.Addr, w.Admin), Callers: expandAddr(w.Addr, w.Callers),
		Incarnation: w.Incarnation, Status: min(w.Status, Left), Draining: w.Draining,
		Upstream: Upstream{Service: intern(w.Service), Version: intern(w.Build), Instance: w.Instance, Slots: w.Slots, Since: w.Since}}
}

// valid reports whether the address is an IP:port.
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

// Encoding of a payload: the first byte says whether the rest is compressed.
const (
	payloadPlain      = 0
	payloadCompressed = 1
	// compressAbove is the size in bytes from which a payload is compressed; shorter ones
	// gain too little.
	compressAbove = 400
	// maxPayload is the largest payload after decompression, in bytes.
	maxPayload = 8 << 20
	// compressionWindow is the window of the encoder in bytes; it bounds the memory of both
	// sides and is larger than pageBytes. The encoder uses the fastest level, which keeps
	// one small table; the next level needs 1.3 MB on every node.
	compressionWindow = 64 << 10
)

// errPayload reports a payload that cannot be decoded.
var errPayload = errors.New("gossip: malformed payload")

var (
	payloadEncoder    = newPayloadEncoder()
	payloadDecoder, _ = zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxPayload))
)

// newPayloadEncoder returns an encoder whose lazy initialization is done.
func newPayloadEncoder() *zstd.Encoder {
	e, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest),
		zstd.WithLowerEncoderMem(true), zstd.WithWindowSize(compressionWindow), zstd.WithEncoderCRC(false))
	if err != nil {
		panic(err) // the options are constants
	}
	e.EncodeAll([]byte{0}, nil)
	return e
}

// encode returns u as a payload, or nil if u is empty.
func (u *updates) encode() []byte {
	if u.empty() {
		return nil
	}
	raw, err := msgpack.Marshal(u)
	if err != nil {
		return nil
	}
	if len(raw) < compressAbove {
		return append([]byte{payloadPlain}, raw...)
	}
	return payloadEncoder.EncodeAll(raw, []byte{payloadCompressed})
}

// decodeUpdates decodes a payload; an empty one has no updates.
func decodeUpdates(payload []byte) (u updates, err error) {
	if len(payload) == 0 {
		return u, nil
	}
	raw := payload[1:]
	if payload[0] == payloadCompressed {
		if raw, err = payloadDecoder.DecodeAll(raw, nil); err != nil {
			return u, errors.Wrap(errPayload, err.Error())
		}
	}
	if err := msgpack.Unmarshal(raw, &u); err != nil {
		return u, errors.Wrap(errPayload, err.Error())
	}
	return u, nil
}
