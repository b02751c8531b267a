package orders

import (
	"context"
	"math/rand/v2"
	"time"

	"celerybank/internal/duration"
)

// News says up to which position the sender knows the records, and brings what is new when that
// is small; otherwise From has it.
type News struct {
	From string `msgpack:"f,omitempty"`
	Next int64  `msgpack:"x"`
	// Before is the position from which on Batch has all records.
	Before int64 `msgpack:"b"`
	Batch  Batch `msgpack:"n"`
	// Age is how long ago a reader was heard of, in milliseconds.
	Age int64 `msgpack:"a"`
}

// Ask asks for the records from a position on.
type Ask struct {
	Next int64 `msgpack:"n"`
	Age  int64 `msgpack:"a"`
}

// Reply has what the asker lacks; without records the position alone.
type Reply struct {
	Batch Batch `msgpack:"b"`
	Age   int64 `msgpack:"a"`
}

// Empty is an answer without content.
type Empty struct{}

func (f *Follower) age() int64 { return time.Now().UnixMilli() - f.heard.Load() }

// push hands news to peers of the own zone.
func (f *Follower) push(ctx context.Context) {
	sent := f.board.View().Next
	for {
		changed := f.board.Changed()
		if next := f.board.View().Next; next > sent {
			news := &News{From: f.members.Self().Addr, Next: next, Before: sent, Age: f.age()}
			if batch := f.board.After(sent); batch.bytes() <= eagerBytes {
				news.Batch = batch
			}
			sent = next
			for _, addr := range f.neighbours(newsFanout) {
				go f.call(ctx, addr, "News", news, &Empty{}) // repair makes up for a loss
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func (f *Follower) call(ctx context.Context, addr, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	return f.peers.Call(ctx, addr, "Orders."+method, args, reply)
}

// neighbours returns up to n random other nodes of the own zone.
func (f *Follower) neighbours(n int) []string {
	near, _ := f.others()
	rand.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	return near[:min(n, len(near))]
}

func (f *Follower) others() (near, far []string) {
	self := f.members.Self()
	for _, m := range f.members.Alive() {
		switch {
		case m.Addr == self.Addr:
		case m.Zone == self.Zone:
			near = append(near, m.Addr)
		default:
			far = append(far, m.Addr)
		}
	}
	return near, far
}

// repair compares positions with a random peer and takes what this node lacks.
func (f *Follower) repair(ctx context.Context) {
	for duration.Sleep(ctx, f.repairPause()) {
		near, far := f.others()
		if len(near) == 0 || (len(far) > 0 && (f.down.Load() || rand.Float64() < farShare)) {
			near = far
		}
		if len(near) > 0 {
			f.pull(ctx, near[rand.IntN(len(near))])
		}
	}
}

func (f *Follower) repairPause() time.Duration {
	mean := repairInterval
	if f.down.Load() {
		mean = standInInterval
	}
	return mean/2 + rand.N(mean)
}

func (f *Follower) pull(ctx context.Context, addr string) {
	var reply Reply
	if f.call(ctx, addr, "Pull", &Ask{Next: f.board.View().Next, Age: f.age()}, &reply) != nil {
		return // another exchange makes up for a loss
	}
	f.hear(time.Duration(reply.Age) * time.Millisecond)
	f.board.Apply(reply.Batch, addr)
}

// Service answers the exchanges of peers.
type Service struct{ f *Follower }

// NewService returns the rpc service over f.
func NewService(f *Follower) *Service { return &Service{f} }

// News takes in what a peer has learnt, if nothing is missing before it.
func (s *Service) News(n *News, _ *Empty) error {
	s.f.hear(time.Duration(n.Age) * time.Millisecond)
	switch known := s.f.board.View().Next; {
	case n.Next <= known:
	case n.Batch.Next == 0:
		s.f.fetch(n.From)
	case n.Batch.Whole || n.Before <= known:
		s.f.board.Apply(n.Batch, "push")
	}
	return nil
}

// fetch takes announced news from a peer, from one at a time: other announcements are most likely
// of the same news, and repair makes up for what is missed.
func (f *Follower) fetch(from string) {
	if f.fetching.Swap(true) {
		return
	}
	go func() {
		defer f.fetching.Store(false)
		f.pull(context.Background(), from) // bounded by exchangeTimeout
	}()
}

// Pull answers with what the asker lacks.
func (s *Service) Pull(a *Ask, reply *Reply) error {
	s.f.hear(time.Duration(a.Age) * time.Millisecond)
	reply.Age = s.f.age()
	if a.Next < s.f.board.View().Next {
		reply.Batch = s.f.board.After(a.Next)
	}
	return nil
}
