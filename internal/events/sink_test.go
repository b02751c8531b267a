package events

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
)

// stuck is a standard output that nobody reads.
type stuck struct{ release chan struct{} }

func (s stuck) Write(p []byte) (int, error) { <-s.release; return len(p), nil }

func TestUnreadOutputBlocksNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := stuck{make(chan struct{})}
		s := NewSink(out)
		start := time.Now()
		for range 3 * sinkLines {
			_, _ = s.Write([]byte("line\n"))
		}
		if time.Since(start) > 0 || s.Dropped() < 2*sinkLines-1 {
			t.Errorf("took %v, %d dropped", time.Since(start), s.Dropped())
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
			t.Errorf("%s", text)
		}
	})
}

// Under load an event writes so many lines a second, and one says how many are missing.
func TestLinesOfAnEventAreBounded(t *testing.T) {
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
			t.Errorf("%d lines, %d reports", refused, limited)
		}
		if n := len(r.Since(0)); n != ringSize {
			t.Errorf("the time line has %d events", n)
		}
	})
}

// The bound on lines and the sample of served requests are settings.
func TestLimitsAreSettings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var b bytes.Buffer
		log := logrus.New()
		log.SetOutput(&b)
		log.SetFormatter(&logrus.JSONFormatter{})
		r := New("n", "z", log)
		sampled := 0
		for range 100 {
			if r.Sample() {
				sampled++
			}
		}
		if sampled != 0 {
			t.Errorf("%d sampled by default", sampled)
		}
		r.Limit(Limits{LinesPerSecond: 3, ServedEvery: 10})
		for range 100 {
			r.Emit(CallRefused, nil)
			if r.Sample() {
				sampled++
			}
		}
		if lines := strings.Count(b.String(), `"msg":"call-refused"`); lines != 3 || sampled != 10 {
			t.Errorf("%d lines, %d sampled; want 3 and 10", lines, sampled)
		}
	})
}
