package delivery

import (
	"context"
	"time"

	"celerybank/internal/proxy"
	"celerybank/internal/verdict"
)

// UsageCounter counts the requests of each workspace that the upstream begins to run.
type UsageCounter interface {
	Begin(workspace string, at time.Time)
	// Revoke takes back what Begin counted.
	Revoke(workspace string, at time.Time)
}

// usageRun is the count of one request. It is used by one goroutine; nil counts nothing.
type usageRun struct {
	counter   UsageCounter
	workspace string
	// began is when the request was counted, zero before that.
	began time.Time
}

// usageRunKey is the context key of the *usageRun of a request.
type usageRunKey struct{}

// countRun returns a context with which the request is counted when it is sent. Requests without a workspace are not counted.
func (o *Owner) countRun(ctx context.Context, req *proxy.Request) (context.Context, *usageRun) {
	if o.Usage == nil || req.Workspace == "" {
		return ctx, nil
	}
	run := &usageRun{counter: o.Usage, workspace: req.Workspace}
	return context.WithValue(ctx, usageRunKey{}, run), run
}

// beforeSend waits until a request may be sent to the upstream, and counts it then.
func (o *Owner) beforeSend(ctx context.Context) (sent func(), err error) {
	sent, err = o.Gate.WaitToSend(ctx)
	if err != nil || o.Usage == nil {
		return sent, err
	}
	if run, ok := ctx.Value(usageRunKey{}).(*usageRun); ok {
		run.began = time.Now()
		run.counter.Begin(run.workspace, run.began)
	}
	return sent, nil
}

// settle takes the count back if the upstream has not run the request, and returns v.
func (r *usageRun) settle(v verdict.Verdict) verdict.Verdict {
	if r != nil && !r.began.IsZero() && v == verdict.NotRun {
		r.counter.Revoke(r.workspace, r.began)
	}
	return v
}
