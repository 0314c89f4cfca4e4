package limit_test

import (
	"fmt"
	"time"

	"github.com/catkinrouter/catkinrouter/limit"
)

func Example() {
	l := limit.New(limit.Options{Slots: 1, MaxSlots: 1, Queue: 1, LongShare: 0.5})
	for id := uint64(1); id <= 4; id++ {
		d := l.Admit(0, limit.Request{ID: id, Caller: "clerk", Deadline: time.Second})
		fmt.Printf("%d run=%t wait=%t %q\n", id, d.Verdict == limit.Run, d.Verdict == limit.Wait, d.Reason)
	}
	l.Done(time.Millisecond, limit.Sample{Latency: time.Millisecond})
	next, _ := l.Next(time.Millisecond)
	fmt.Println("next", next.ID)
	// Output:
	// 1 run=true wait=false ""
	// 2 run=true wait=false ""
	// 3 run=false wait=true ""
	// 4 run=false wait=false "queue-full"
	// next 3
}
