package settings

import (
	"strings"
	"testing"

	"github.com/go-faster/errors"

	"celerybank/internal/fault"
)

const validSettings = `{"name": "vittoria-1", "zone": "vittoria",
 "listen": {"callers": "127.0.1.1:8080", "peers": "127.0.1.1:7000", "admin": "127.0.1.1:9000"},
 "platform": {"address": "127.0.0.1:7700", "timeout": "500ms"}}`

func TestDefaultsAreFilledIn(t *testing.T) {
	c, err := Parse([]byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	if c.Limits.BodyBytes != 1<<20 || c.Drain.D() != Default().Drain.D() {
		t.Errorf("got %+v, want the defaults of body_bytes and drain", c)
	}
}

// Each fault is reported with the path of its field.
func TestFaultsNameTheirField(t *testing.T) {
	for name, tc := range map[string]struct {
		change [2]string
		want   string
	}{
		"unknown field":    {[2]string{`"zone": "vittoria"`, `"zone": "vittoria", "colour": "red"`}, "colour"},
		"missing zone":     {[2]string{`"zone": "vittoria",`, ``}, "zone"},
		"duration no unit": {[2]string{`"500ms"`, `"500"`}, "platform.timeout"},
		"duration number":  {[2]string{`"500ms"`, `500`}, "platform.timeout"},
		"bad address":      {[2]string{`127.0.1.1:7000`, `host:7000`}, "listen.peers"},
		"zero duration":    {[2]string{`"500ms"`, `"0s"`}, "platform.timeout"},
		"not JSON":         {[2]string{`{"name"`, `{{`}, "not JSON"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Parse([]byte(strings.Replace(validSettings, tc.change[0], tc.change[1], 1)))
			var faults fault.List
			if !errors.As(err, &faults) || !strings.Contains(err.Error(), tc.want) {
				t.Fatalf("got error %v, want a fault.List that contains %q", err, tc.want)
			}
		})
	}
}

func TestAllFaultsAreReported(t *testing.T) {
	text := strings.NewReplacer("127.0.1.1:7000", "x", "127.0.1.1:8080", "y").Replace(validSettings)
	_, err := Parse([]byte(text))
	if err == nil || strings.Count(err.Error(), "\n") != 1 {
		t.Fatalf("got error %v, want one of two lines", err)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte(`{"listen": []}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		c, err := Parse(text)
		if err == nil && (c.Name == "" || c.Zone == "" || c.Limits.BodyBytes < 1) {
			t.Fatalf("parsed %q without error as %+v, want an error", text, c)
		}
	})
}
