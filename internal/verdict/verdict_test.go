package verdict

import "testing"

func TestOnlyNotRunOrIdempotentIsRetried(t *testing.T) {
	for _, tc := range []struct {
		v          Verdict
		idempotent bool
		want       bool
	}{
		{NotRun, false, true}, {NotRun, true, true},
		{MayHaveRun, false, false}, {MayHaveRun, true, true},
		{Ran, false, false}, {Ran, true, false},
	} {
		if got := tc.v.MayRetry(tc.idempotent); got != tc.want {
			t.Errorf("%v.MayRetry(%v): got %v, want %v", tc.v, tc.idempotent, got, tc.want)
		}
	}
}

func TestNamesRoundTrip(t *testing.T) {
	for _, v := range []Verdict{NotRun, MayHaveRun, Ran} {
		if got, ok := Parse(v.String()); !ok || got != v {
			t.Errorf("Parse(%q): got %v, %v; want %v, true", v.String(), got, ok, v)
		}
	}
	if v, ok := Parse("???"); ok || v != MayHaveRun {
		t.Errorf("Parse of an unknown value: got %v, %v; want %v, false", v, ok, MayHaveRun)
	}
}
