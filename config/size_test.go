package config_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/catkinrouter/catkinrouter/config"
)

// BenchmarkSizeDocument measures checking the digest of a head and decoding
// its document, and reports the document's size in the store, by number of
// upstreams. Its results go into docs/CAPACITY.md.
func BenchmarkSizeDocument(b *testing.B) {
	for _, n := range []int{60, 120, 240, 480} {
		b.Run(fmt.Sprintf("size=%d", n), func(b *testing.B) {
			doc := testDocument(1)
			first := doc.Services[0].Upstreams[0]
			doc.Services[0].Upstreams = nil
			for i := range n {
				u := first
				u.ID = fmt.Sprintf("stockview-%03d", i)
				u.Address = fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250+1)
				doc.Services[0].Upstreams = append(doc.Services[0].Upstreams, u)
			}
			text, err := json.Marshal(doc)
			if err != nil {
				b.Fatal(err)
			}
			head := config.NewHead(1, text)
			for b.Loop() {
				var k config.Replica
				if _, err := k.Offer(head); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(text)), "document-B")
		})
	}
}
