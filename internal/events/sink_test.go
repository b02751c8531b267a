package events

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
)

// blockedWriter is an output that nobody reads until release is closed.
type blockedWriter struct{ release chan struct{} }

func (s blockedWriter) Write(p []byte) (int, error) { <-s.release; return len(p), nil }

func TestUnreadOutputDoesNotBlockWriters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := blockedWriter{make(chan struct{})}
		s := NewSink(out)
		start := time.Now()
		for range 3 * sinkLines {
			_, _ = s.Write([]byte("line\n"))
		}
		if time.Since(start) > 0 || s.Dropped() < 2*sinkLines-1 {
			t.Errorf("writes took %v with %d lines dropped; want 0s and at least %d", time.Since(start), s.Dropped(), 2*sinkLines-1)
		}
		close(out.release)
		synctest.Wait()
		close(s.lines)
	})
}

func TestDroppedLinesAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var b bytes.Buffer
		s := &Sink{w: &b, lines: make(chan []byte, 1)}
		for range 3 {
			_, _ = s.Write([]byte("line\n"))
		}
		go s.run()
		synctest.Wait()
		close(s.lines)
		if text := b.String(); !strings.Contains(text, `"lines":2`) || !strings.HasSuffix(text, "line\n") {
			t.Errorf("got %s, want a report of 2 lines before the last line", text)
		}
	})
}

// An event above its limit writes LinesPerSecond lines per second, and one line with the number omitted.
func TestLinesPerEventAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var b bytes.Buffer
		log := logrus.New()
		log.SetOutput(&b)
		log.SetFormatter(&logrus.JSONFormatter{})
		r := New("n", "z", log)
		for range 3 {
			for range 1000 {
				r.Emit(CallRefused, Fields{"request": "r"})
			}
			time.Sleep(time.Second)
		}
		r.Emit(Started, nil)
		refused, limited := strings.Count(b.String(), `"msg":"call-refused"`), strings.Count(b.String(), `"log-limited"`)
		if refused != 3*LinesPerSecond || limited != 3 || !strings.Contains(b.String(), `"left_out":960`) {
			t.Errorf("got %d lines and %d reports, want %d and 3", refused, limited, 3*LinesPerSecond)
		}
		if n := len(r.Since(0)); n != ringSize {
			t.Errorf("got %d events in the timeline, want %d", n, ringSize)
		}
	})
}

// The limit on lines and the sampling of served requests can be set.
func TestLimitSetsLinesAndSampling(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var b bytes.Buffer
		log := logrus.New()
		log.SetOutput(&b)
		log.SetFormatter(&logrus.JSONFormatter{})
		r := New("n", "z", log)
		sampled := 0
		for range 100 {
			if r.SampleServed() {
				sampled++
			}
		}
		if sampled != 0 {
			t.Errorf("got %d requests sampled by default, want 0", sampled)
		}
		r.SetLimits(Limits{LinesPerSecond: 3, ServedEvery: 10})
		for range 100 {
			r.Emit(CallRefused, nil)
			if r.SampleServed() {
				sampled++
			}
		}
		if lines := strings.Count(b.String(), `"msg":"call-refused"`); lines != 3 || sampled != 10 {
			t.Errorf("got %d lines and %d samples, want 3 and 10", lines, sampled)
		}
	})
}
