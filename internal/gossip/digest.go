package gossip

import "encoding/binary"

// Number of buckets in the digest. Members are assigned by the hash of their address,
// facts by the hash of their key.
const (
	memberBuckets = 512
	factBuckets   = 16
	buckets       = memberBuckets + factBuckets
)

// digest combines the hashes of a node's live members and facts, for each bucket and
// overall. Two nodes with equal digests hold the same content.
type digest struct {
	bucket [buckets]uint32
	root   uint64
}

// flip adds an item, or removes it if present: hashes are combined by exclusive or.
func (d *digest) flip(bucket int, hash uint64) {
	d.bucket[bucket] ^= uint32(hash)
	d.root ^= hash
}

func memberBucket(hash uint64) int { return int(hash % memberBuckets) }
func factBucket(hash uint64) int   { return memberBuckets + int(hash%factBuckets) }

// digestWidth returns the number of member buckets in a message about n members, a power
// of two between minWidth and memberBuckets.
func digestWidth(n int) int {
	w := minWidth
	for w < memberBuckets && w*membersPerBucket < n {
		w *= 2
	}
	return w
}

// Size of the digest in a message, in member buckets.
const (
	minWidth         = 16
	membersPerBucket = 8
)

// fold returns the digest with the member buckets combined into width buckets, followed
// by the fact buckets.
func (d *digest) fold(width int) []uint32 {
	out := make([]uint32, width+factBuckets)
	for b := range memberBuckets {
		out[b%width] ^= d.bucket[b]
	}
	copy(out[width:], d.bucket[memberBuckets:])
	return out
}

// differingBuckets returns the buckets from start on whose content differs from the
// peer's. If peer is not a valid digest, all of them differ.
func (d *digest) differingBuckets(peer []byte, start int) (differ [buckets]bool) {
	theirs := decodeHashes(peer)
	width := len(theirs) - factBuckets
	var ours []uint32
	if width >= minWidth && width <= memberBuckets {
		ours = d.fold(width)
	}
	for b := max(start, 0); b < buckets; b++ {
		switch {
		case ours == nil:
			differ[b] = true
		case b < memberBuckets:
			differ[b] = ours[b%width] != theirs[b%width]
		default:
			f := width + b - memberBuckets
			differ[b] = ours[f] != theirs[f]
		}
	}
	return differ
}

// hashSize is the size in bytes of a truncated hash in a message.
const hashSize = 4

func encodeHashes(hashes []uint32) []byte {
	out := make([]byte, 0, hashSize*len(hashes))
	for _, h := range hashes {
		out = binary.LittleEndian.AppendUint32(out, h)
	}
	return out
}

func decodeHashes(b []byte) []uint32 {
	out := make([]uint32, 0, len(b)/hashSize)
	for ; len(b) >= hashSize; b = b[hashSize:] {
		out = append(out, binary.LittleEndian.Uint32(b))
	}
	return out
}
