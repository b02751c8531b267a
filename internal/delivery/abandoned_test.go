package delivery

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"celerybank/internal/proxy"
	"celerybank/internal/verdict"
)

// Guards against refusing the children of a request that the upstream still runs, and against forgetting to do so later.
func TestChildrenOfAbandonedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &Owner{}
		o.abandoned.add(&proxy.Request{RequestID: "a"}, proxy.Refusal(verdict.MayHaveRun, proxy.ReasonDeadline))
		o.abandoned.add(&proxy.Request{RequestID: "b"}, proxy.Refusal(verdict.NotRun, proxy.ReasonShed))
		o.abandoned.add(&proxy.Request{RequestID: "c"}, &proxy.Response{Verdict: verdict.Ran, Status: 200})
		for id, want := range map[string]bool{"a.1": true, "a": false, "a.1.1": false, "b.1": false, "c.1": false, ".1": false} {
			if got := o.Abandoned(id); got != want {
				t.Errorf("request %s: got %v, want %v", id, got, want)
			}
		}
		time.Sleep(abandonedRetention)
		if o.Abandoned("a.1") {
			t.Error("the request is known for longer than its retention")
		}
		for i := range 2 * maxAbandoned {
			o.abandoned.add(&proxy.Request{RequestID: fmt.Sprint(i)}, proxy.Refusal(verdict.MayHaveRun, proxy.ReasonDeadline))
		}
		if n := len(o.abandoned.until); n != maxAbandoned || !o.Abandoned(fmt.Sprint(2*maxAbandoned-1, ".1")) {
			t.Errorf("%d requests are known, want the newest %d", n, maxAbandoned)
		}
	})
}
