package usage

import "sync/atomic"

// reporterCounts counts what a Reporter did.
type reporterCounts struct {
	takeovers, appends, reads, collects, calls, failures, reports, missed, incomplete atomic.Int64
}

// Metrics returns the counts of the reporter by the name of the metric.
func (r *Reporter) Metrics() map[string]func() float64 {
	out := map[string]func() float64{}
	for name, n := range map[string]*atomic.Int64{
		"celerybank_usage_takeovers_total": &r.counts.takeovers, "celerybank_usage_store_appends_total": &r.counts.appends,
		"celerybank_usage_store_reads_total": &r.counts.reads, "celerybank_usage_collects_total": &r.counts.collects,
		"celerybank_usage_api_calls_total": &r.counts.calls, "celerybank_usage_api_failures_total": &r.counts.failures,
		"celerybank_usage_reports_total": &r.counts.reports, "celerybank_usage_missed_total": &r.counts.missed,
		"celerybank_usage_incomplete_total": &r.counts.incomplete,
	} {
		out[name] = func() float64 { return float64(n.Load()) }
	}
	out["celerybank_usage_holder"] = func() float64 {
		if r.Status().Holds {
			return 1
		}
		return 0
	}
	out["celerybank_usage_generation"] = func() float64 { return float64(r.Status().Generation) }
	out["celerybank_usage_window"] = func() float64 { return float64(r.Status().Through) }
	return out
}
