package delivery

import (
	"github.com/valyala/fasthttp"

	"celerybank/internal/membudget"
	"celerybank/internal/proxy"
)

// holdBody passes the memory of a response that was read from the upstream to res, which has no body if it is a refusal.
func holdBody(res *proxy.Response, held *membudget.Holder) {
	if len(res.Body) == 0 {
		held.Release()
		return
	}
	res.Hold(held)
}

// releaseResponse returns resp to its pool, without the body: the pool must not keep the buffers of large ones.
func releaseResponse(resp *fasthttp.Response) {
	_ = resp.SwapBody(nil)
	fasthttp.ReleaseResponse(resp)
}
