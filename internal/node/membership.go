package node

// Leave says that the host's upstream takes no new work.
func (n *Node) Leave(instance string) { n.host.Drain(instance) }
