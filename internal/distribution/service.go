package distribution

import "context"

// Service serves the RPC methods that peers call.
type Service struct{ d *Distributor }

// NewService returns the RPC service of d.
func NewService(d *Distributor) *Service { return &Service{d} }

// News handles an update from a peer: it applies the included records, and schedules a
// pull when the peer has a newer version.
func (s *Service) News(args *Update, _ *UpdateReply) error {
	if args.Batch != nil {
		s.d.store.ApplyBatch(args.Digest.From, args.Batch)
	}
	s.d.observeDigest(args.Digest)
	return nil
}

// Pull returns records that the calling node has not applied.
func (s *Service) Pull(args *Digest, reply *PullReply) error {
	*reply = s.d.pullReply(*args)
	return nil
}

// Head returns the log's head, read after the call arrived, to a starting node.
func (s *Service) Head(_ *HeadArgs, reply *HeadReply) error {
	if !s.d.IsLogReader() {
		self := s.d.members.Self()
		reply.NotReader, reply.Readers = true, readersOf(self.Zone, s.d.members.Alive())
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
	defer cancel()
	head, err := s.d.headReader.fetch(ctx)
	s.d.recordLogStatus(err)
	reply.Head, reply.Down = head, err != nil
	return nil
}

// Report records the version of another node, for which this node is a witness.
func (s *Service) Report(args *ReportArgs, _ *ReportReply) error {
	s.d.peerVersions.record(args.Addr, args.Version)
	return nil
}

// Recall returns the version that Report recorded, or this node's own version if that is
// higher.
func (s *Service) Recall(args *RecallArgs, reply *RecallReply) error {
	version, known := s.d.peerVersions.lookup(args.Addr)
	reply.Known, reply.Version = known, max(version, s.d.store.State().Version)
	return nil
}
