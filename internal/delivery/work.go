package delivery

import "time"

// estimate is the mean of the processing times and their mean deviation from it, as a transport estimates its
// round-trip time (Jacobson 1988, RFC 6298).
type estimate struct{ mean, deviation time.Duration }

const (
	// initialMeanTime and initialDeviation are assumed before the first response.
	initialMeanTime  = 50 * time.Millisecond
	initialDeviation = initialMeanTime / 2
	// meanWeight is the weight of a new processing time in the mean and in the mean deviation.
	meanWeight = 0.1
	// likelyDeviations is the number of mean deviations above the mean within which most requests end, and below the mean
	// within which few do.
	likelyDeviations = 2
	// maxTrackedRoutes limits the memory of the estimates; the requests of further routes get the estimate of
	// all routes.
	maxTrackedRoutes = 256
)

func (e *estimate) add(took time.Duration) {
	e.deviation += time.Duration(meanWeight * float64((took-e.mean).Abs()-e.deviation))
	e.mean += time.Duration(meanWeight * float64(took-e.mean))
}

// likely returns the time within which most requests end.
func (e estimate) likely() time.Duration { return e.mean + likelyDeviations*e.deviation }

// shortest returns the time within which few requests end.
func (e estimate) shortest() time.Duration { return e.mean - likelyDeviations*e.deviation }

// workEstimates estimates how long the upstream processes a request, from its latest responses.
type workEstimates struct {
	all    estimate
	routes map[string]*estimate
}

func newWorkEstimates() workEstimates {
	return workEstimates{all: estimate{initialMeanTime, initialDeviation}, routes: map[string]*estimate{}}
}

// add records the processing time of one request of a route.
func (w *workEstimates) add(route string, took time.Duration) {
	w.all.add(took)
	e := w.routes[route]
	if e == nil {
		if len(w.routes) >= maxTrackedRoutes {
			return
		}
		w.routes[route] = &estimate{took, took / 2}
		return
	}
	e.add(took)
}

// of returns the estimate for a request of a route: that of all routes before the first response on it.
func (w *workEstimates) of(route string) estimate {
	if e := w.routes[route]; e != nil {
		return *e
	}
	return w.all
}

// shortest returns the time within which few requests of a route end, 0 before the first response on it.
func (w *workEstimates) shortest(route string) time.Duration {
	if e := w.routes[route]; e != nil {
		return e.shortest()
	}
	return 0
}
