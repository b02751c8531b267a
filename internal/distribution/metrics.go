package distribution

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Register adds the distributor's metrics to set. It must be called before Run.
func (d *Distributor) Register(set *metrics.Set) {
	gauge := func(name string, f func() float64) { set.NewGauge(name, f) }
	gauge("celerybank_config_version", func() float64 { return float64(d.store.State().Version) })
	gauge("celerybank_config_ready", func() float64 { return boolToFloat(d.admitting.Load()) })
	gauge("celerybank_config_log_reader", func() float64 { return boolToFloat(d.IsLogReader()) })
	gauge("celerybank_config_source_down", func() float64 { return boolToFloat(d.logDown.Load()) })
	gauge("celerybank_config_source_reads_total", func() float64 { return float64(d.reads.Load() + d.headReader.reads.Load()) })
	gauge("celerybank_config_reader_silence_seconds", func() float64 {
		return time.Since(time.UnixMilli(d.readerSeen.Load())).Seconds()
	})
	for p, name := range purposeNames {
		gauge(`celerybank_config_sent_bytes_total{purpose="`+name+`"}`, func() float64 { return float64(d.budget.spentBytes[p].Load()) })
	}
	delay := set.NewHistogram("celerybank_config_convergence_seconds")
	d.store.observeDelay = func(age time.Duration) { delay.Update(age.Seconds()) }
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
