package main

import (
	"fmt"
	"net/http"
	"os"
	"time"
)

// Bounds of the site iblee-mesh, and the schedule of the case.
const (
	drainBound = 2 * time.Second // drain_s
	contact    = 3 * time.Second // contact_s

	killAfter    = 300 * time.Millisecond  // from the confirmation to the SIGKILL
	restartAfter = 500 * time.Millisecond  // from the SIGKILL to the start by the platform
	latePing     = 2500 * time.Millisecond // from the confirmation to the arrival of the late ping
	exitAfter    = 8 * time.Second         // from the confirmation to the end of the back end
)

// leaveForgotten shows that a node forgets a leave that it has confirmed when its process is killed: a ping that was sent
// before the leave and arrives late brings the back end back.
func leaveForgotten(program string, trouble bool, rec *record) (int, error) {
	c, err := newCluster(program, "ordini", "ordini", "listino", "listino")
	if err != nil {
		return 0, err
	}
	defer c.close()
	c.store.put(topicOperator, "config", config(1, "shop.example", []route{{"/order/", "unsafe", "ordini", 1.2}}, []string{"ordini", "listino"}))
	if err := c.startNodes(); err != nil {
		return 0, err
	}
	runs := &ledger{}
	var backends []*backend
	for i, m := range c.machines {
		b := newBackend(m, fmt.Sprint("i-", i), 150*time.Millisecond, runs, rec)
		if err := b.start(); err != nil {
			return 0, err
		}
		backends = append(backends, b)
	}
	orders := newRequesters("shop.example", http.MethodPost, "/order/", 2500*time.Millisecond, rec)
	stopSending := make(chan struct{})
	sending := make(chan struct{})
	go func() {
		defer close(sending)
		tick := time.NewTicker(40 * time.Millisecond)
		defer tick.Stop()
		for i := 0; ; i++ {
			select {
			case <-tick.C:
				orders.send(c.machines[1+i%3]) // requesters of the killed machine are left out
			case <-stopSending:
				return
			}
		}
	}()
	time.Sleep(contact + 3*time.Second) // all machines are in touch, and the service is in steady state

	leaving, owner := backends[0], c.machines[0]
	leaving.mu.Lock()
	leaving.paused = true // after a leave by DELETE nothing more is sent
	leaving.mu.Unlock()
	late := leaving.nextPing() // sent now, arrives late
	rec.note("%s sends a ping, which will arrive late, and then DELETE", leaving.instance)
	status, err := leaving.sendDelete()
	if err != nil || status/100 != 2 {
		return 0, fmt.Errorf("the leave was not confirmed: status %d, %v", status, err)
	}
	confirmed := time.Now()
	inTouch := confirmed
	rec.note("%s confirms the leave of %s: status %d", owner.name, leaving.instance, status)
	if trouble {
		time.Sleep(time.Until(confirmed.Add(killAfter)))
		if os.Getenv("TROUBLE") == "term" {
			owner.terminate()
			rec.note("%s has ended after a SIGTERM", owner.name)
		} else {
			owner.kill()
			rec.note("%s is killed", owner.name)
		}
		time.Sleep(restartAfter)
		if err := owner.start(); err != nil {
			return 0, err
		}
		inTouch = owner.startedAt.Add(contact)
		rec.note("%s is started again", owner.name)
	}
	time.Sleep(time.Until(confirmed.Add(latePing)))
	for trouble && !owner.listens() {
		time.Sleep(50 * time.Millisecond) // after a SIGTERM the node may still be away
	}
	status, err = leaving.ping(late)
	rec.note("the late ping of %s arrives: status %d, %v", leaving.instance, status, err)
	time.Sleep(time.Until(confirmed.Add(exitAfter)))
	leaving.exit()
	rec.note("%s exits", leaving.instance)
	time.Sleep(time.Second)
	close(stopSending)
	<-sending
	orders.wg.Wait()
	return judgeLeave(rec, orders, runs, leaving.instance, confirmed, inTouch), nil
}

// judgeLeave checks the rule DRAIN: no request reaches the back end later than drain_s after the confirmation, sent on by a
// machine in touch.
func judgeLeave(rec *record, orders *requesters, runs *ledger, instance string, confirmed, inTouch time.Time) int {
	runs.mu.Lock()
	defer runs.mu.Unlock()
	after, cut := 0, map[string]bool{}
	for _, r := range runs.runs {
		if r.instance != instance || r.at.Before(confirmed.Add(drainBound)) || r.at.Before(inTouch) {
			continue
		}
		after++
		cut[r.id] = true
	}
	lost := 0
	for _, a := range orders.answers {
		if cut[a.id] && a.status/100 != 2 {
			lost++
		}
	}
	rec.note("%d requests reached %s later than %v after the confirmation, sent on by a machine in touch; allowed: 0", after, instance, drainBound)
	rec.note("%d of them got no success: the back end ended while it ran them", lost)
	if after > 0 {
		return broken
	}
	return held
}
