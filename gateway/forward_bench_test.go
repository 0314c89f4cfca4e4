package gateway

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// BenchmarkForward sends requests with bodies on one connection to an upstream that reads them.
func BenchmarkForward(b *testing.B) {
	for _, size := range []int{1 << 10, 1 << 20} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			t := &testing.T{}
			u := newStub(t, "u", nil)
			u.ln.Close()
			ln, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			defer ln.Close()
			u.ln = ln
			go fasthttp.Serve(ln, func(ctx *fasthttp.RequestCtx) {
				ctx.Response.Header.Set("Load", "0,0,100")
				if string(ctx.Path()) == "/health" {
					ctx.Response.Header.Set("Upstream-Id", "u")
					return
				}
				ctx.Response.Header.SetBytesV("Request-Id", ctx.Request.Header.Peek("Request-Id"))
				ctx.Response.Header.Set("Signature", "u")
			})
			tg := newTestGateway(t)
			tg.configure(5*time.Second, u)
			c, err := net.Dial("tcp4", tg.addr)
			if err != nil {
				b.Fatal(err)
			}
			defer c.Close()
			r := bufio.NewReader(c)
			body := strings.Repeat("x", size)
			b.SetBytes(int64(size))
			b.ReportAllocs()
			n := 0
			for b.Loop() {
				n++
				fmt.Fprintf(c, "POST /purchase/1 HTTP/1.1\r\nHost: %s\r\nRequest-Id: b-%d\r\nContent-Length: %d\r\n\r\n%s", testHost, n, size, body)
				resp, err := http.ReadResponse(r, nil)
				if err != nil || resp.StatusCode != http.StatusOK {
					b.Fatal(resp, err)
				}
				resp.Body.Close()
			}
		})
	}
}
