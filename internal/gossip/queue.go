package gossip

// Classes of updates, sent in this order. Urgent are those after which a node receives no
// more requests, and facts.
const (
	classUrgent = iota
	classAlive
	classSuspect
	classes
)

// item is one queued update: the entry of a member, a suspicion or a fact.
type item struct {
	addr    string // of the member; empty for a fact
	fact    factKey
	suspect *suspectWire
	class   int
	sent    int
	size    int
	// far is set while this node has to send the update to other zones.
	far bool
}

type itemKey struct {
	addr string
	fact factKey
}

func (i *item) key() itemKey { return itemKey{i.addr, i.fact} }

// queue holds updates ordered by class and then by how often they were sent, least often
// first, as in SWIM's dissemination component. An update replaces an earlier one about the
// same member or fact.
type queue struct {
	// current has the latest item for each key; others in levels are skipped.
	current map[itemKey]*item
	// levels lists the items of a class by the number of times they were sent.
	levels [classes][][]*item
}

func newQueue() *queue { return &queue{current: map[itemKey]*item{}} }

func (q *queue) len() int { return len(q.current) }

func (q *queue) add(i *item) {
	if old := q.current[i.key()]; old != nil {
		i.class, i.far = min(i.class, old.class), i.far || old.far
	}
	q.current[i.key()] = i
	q.push(i)
}

func (q *queue) remove(k itemKey) { delete(q.current, k) }

func (q *queue) push(i *item) {
	levels := &q.levels[i.class]
	for len(*levels) <= i.sent {
		*levels = append(*levels, nil)
	}
	(*levels)[i.sent] = append((*levels)[i.sent], i)
}

// dequeue returns items of up to maxBytes, at least one if any is queued, and counts them
// as sent the given number of times. Items that reach the limit of their class are
// dropped.
func (q *queue) dequeue(maxBytes, times int, limits [classes]int) []*item {
	var out []*item
	for c := range q.levels {
		for level := range q.levels[c] {
			list := q.levels[c][level]
			used := 0
			for ; used < len(list); used++ {
				i := list[used]
				if q.current[i.key()] != i {
					continue
				}
				if i.size > maxBytes && len(out) > 0 {
					break
				}
				maxBytes -= i.size
				out = append(out, i)
			}
			q.levels[c][level] = releaseEmpty(list[used:])
			if used < len(list) {
				return q.requeue(out, times, limits)
			}
		}
	}
	return q.requeue(out, times, limits)
}

// releaseEmpty returns nil for an empty list, so that its array can be freed.
func releaseEmpty(list []*item) []*item {
	if len(list) == 0 {
		return nil
	}
	return list
}

// requeue counts the items of out as sent and queues those below their limit again.
func (q *queue) requeue(out []*item, times int, limits [classes]int) []*item {
	for _, i := range out {
		i.sent += times
		if i.sent >= limits[i.class] {
			delete(q.current, i.key())
			continue
		}
		q.push(i)
	}
	return out
}
