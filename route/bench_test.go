package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// benchTable returns a table with n routes of one host.
func benchTable(n int) *Table {
	doc := &Document{Version: 1}
	for i := range n {
		doc.Rules = append(doc.Rules, Rule{
			Name: fmt.Sprint("r", i), Host: "hunts.example", Prefix: fmt.Sprintf("/route-%d/", i), Timeout: time.Second, MaxAttempts: 2,
			Parts: []Part{{Service: "tienda", Weight: 90}, {Service: "premios", Weight: 10}},
		})
	}
	return NewTable(doc, rand.New(rand.NewPCG(1, 2)))
}

func BenchmarkMatch(b *testing.B) {
	for _, n := range []int{3, 30, 300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			t := benchTable(n)
			path := fmt.Sprintf("/route-%d/clue/7", n/2)
			b.ReportAllocs()
			for b.Loop() {
				if t.Match("hunts.example:80", path) == nil {
					b.Fatal("no route")
				}
			}
		})
	}
}

func BenchmarkNextService(b *testing.B) {
	r := benchTable(1).Match("hunts.example", "/route-0/")
	b.ReportAllocs()
	for b.Loop() {
		if r.NextService() == "" {
			b.Fatal("no service")
		}
	}
}
