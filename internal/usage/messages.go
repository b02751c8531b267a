package usage

// Counts has counts of one process in buckets.
type Counts struct {
	// Process identifies the process that counted.
	Process uint64 `msgpack:"p"`
	// Elapsed is the age of the process when the message was written, Wall its wall clock at its start, in microseconds.
	Elapsed int64 `msgpack:"e"`
	Wall    int64 `msgpack:"w"`
	// Last is the last bucket whose counts are known; bucket b covers the interval from b to b+1 times bucketWidth of Elapsed.
	Last  int64    `msgpack:"l"`
	Names []string `msgpack:"n,omitempty"`
	// Entries has three numbers for each count: the bucket, the position of the workspace in Names, and the count.
	Entries []int64 `msgpack:"c,omitempty"`
}

// PullRequest asks an owner for its counts.
type PullRequest struct {
	// Process is the process whose buckets up to After are known; another process returns all that it has.
	Process uint64 `msgpack:"p"`
	After   int64  `msgpack:"a"`
}

// CollectRequest asks a collector for the counts of a group of hosts.
type CollectRequest struct {
	// Groups is the number of groups of the collector's zone, Group the one asked for.
	Groups int `msgpack:"g"`
	Group  int `msgpack:"i"`
	// Windows has two numbers for each window: how long ago it began and ended, in microseconds.
	Windows []int64 `msgpack:"w"`
}

// CollectReply has the counts of a group of hosts.
type CollectReply struct {
	// Wall is the wall clock of the collector when the reply was written, in Unix microseconds. Offsets are by how much the wall
	// clocks of the hosts are ahead of it, in milliseconds.
	Wall    int64   `msgpack:"w"`
	Offsets []int64 `msgpack:"o"`
	// Hosts is the number of live hosts in the group, Missing those whose counts are not complete.
	Hosts   int      `msgpack:"h"`
	Missing []string `msgpack:"m,omitempty"`
	Names   []string `msgpack:"n,omitempty"`
	// Counts has, for each window, the count of each of Names.
	Counts [][]int64 `msgpack:"c,omitempty"`
}

// HandOver passes on the counts of processes that are about to end or have ended.
type HandOver struct {
	Hosts  []string  `msgpack:"h"`
	Counts []*Counts `msgpack:"c"`
}

// EndedRequest asks a collector for the counts of processes that have ended. Addr is the node that asks.
type EndedRequest struct {
	Addr string `msgpack:"a"`
}

// Empty is an empty reply.
type Empty struct{}

// Service serves the RPCs of the usage report. The method names are part of the protocol.
type Service struct {
	counter   *Counter
	collector *Collector
}

// NewService returns the RPC service of a node.
func NewService(counter *Counter, collector *Collector) *Service { return &Service{counter, collector} }

// Pull returns the counts of this host.
func (s *Service) Pull(q *PullRequest, reply *Counts) error {
	*reply = *s.counter.pull(q)
	return nil
}

// Collect returns the counts of a group of hosts.
func (s *Service) Collect(q *CollectRequest, reply *CollectReply) error {
	return s.collector.collect(q, reply)
}

// HandOver keeps the counts of processes that end.
func (s *Service) HandOver(h *HandOver, _ *Empty) error {
	s.collector.adopt(h)
	return nil
}

// Ended returns the counts of processes that have ended.
func (s *Service) Ended(q *EndedRequest, reply *HandOver) error {
	*reply = *s.collector.endedFor(q.Addr)
	return nil
}

func (c *Counter) pull(q *PullRequest) *Counts {
	after := q.After
	if q.Process != c.process {
		after = -1
	}
	return c.snapshot(after, false)
}
