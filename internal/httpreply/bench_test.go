package httpreply_test

import (
	"bufio"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/internal/httpreply"
)

// A typical head of an upstream's reply.
const typicalHead = "HTTP/1.1 200 OK\r\nRequest-Id: 9c41d07be2a35f68\r\nSignature: 3e1b.07.5a2.600.0.c9f2a4d1\r\nLoad: 3,0,8,100\r\n" +
	"Keep-Alive: timeout=5\r\nContent-Type: application/json\r\nContent-Length: 512\r\n\r\n"

func BenchmarkHead(b *testing.B) {
	read := map[string]func(r *bufio.Reader, h *fasthttp.ResponseHeader) error{
		"checked":     httpreply.ReadHead,
		"not checked": func(r *bufio.Reader, h *fasthttp.ResponseHeader) error { return h.Read(r) },
	}
	for name, read := range read {
		b.Run(name, func(b *testing.B) {
			src := strings.NewReader(typicalHead)
			r := bufio.NewReaderSize(src, testBuffer)
			var h fasthttp.ResponseHeader
			b.ReportAllocs()
			for b.Loop() {
				src.Reset(typicalHead)
				r.Reset(src)
				if err := read(r, &h); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
