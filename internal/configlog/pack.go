package configlog

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"github.com/klauspost/compress/zstd"
)

const (
	// maxUnpackedBytes limits the decompressed size of packed content.
	maxUnpackedBytes = 32 << 20
	// packWindowBytes is the window size of the compressor, which bounds its memory.
	packWindowBytes = 256 << 10
	// hashBytes is the size of the content hash that precedes the compressed content.
	hashBytes = 8
)

// ErrCorrupt reports packed bytes that are truncated or altered.
var ErrCorrupt = errors.New("corrupt content")

func newEncoder() *zstd.Encoder {
	e, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(packWindowBytes), zstd.WithLowerEncoderMem(true))
	if err != nil {
		panic(err) // the options are constants
	}
	return e
}

func newDecoder() *zstd.Decoder {
	d, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxUnpackedBytes))
	if err != nil {
		panic(err) // the options are constants
	}
	return d
}

// Pack returns the hash of content followed by the compressed content. The compressor is
// not reused, because packing is rare and its memory would be held in between.
func Pack(content []byte) []byte {
	out := binary.BigEndian.AppendUint64(make([]byte, 0, hashBytes+len(content)/2), xxhash.Sum64(content))
	return newEncoder().EncodeAll(content, out)
}

// Unpack returns the content that Pack packed. Errors wrap ErrCorrupt.
func Unpack(packed []byte) ([]byte, error) {
	if len(packed) < hashBytes {
		return nil, errors.Wrap(ErrCorrupt, "truncated")
	}
	decoder := newDecoder()
	defer decoder.Close()
	content, err := decoder.DecodeAll(packed[hashBytes:], nil)
	if err != nil {
		return nil, errors.Wrap(ErrCorrupt, err.Error())
	}
	if xxhash.Sum64(content) != binary.BigEndian.Uint64(packed) {
		return nil, errors.Wrap(ErrCorrupt, "content does not match its hash")
	}
	return content, nil
}
