package attempt_test

import (
	"fmt"
	"time"

	"github.com/catkinrouter/catkinrouter/attempt"
	"github.com/catkinrouter/catkinrouter/config"
)

func Example() {
	signer := attempt.NewSigner([]config.PermitKey{{ID: "2026", Secret: []byte("secret")}})
	token := signer.Sign(attempt.Permit{Home: "entry-1", Incarnation: 7, Expires: time.Minute})

	permit, err := signer.ParseKey(token + "/order-1")
	fmt.Println(permit.Home, err)

	record := attempt.NewRecord(attempt.DefaultRecordLimits)
	try := attempt.Try{Key: token + "/order-1", Permit: permit, Number: 1}
	fmt.Println(record.Begin(0, try).Action == attempt.Run)
	record.End(time.Second, try.Key, attempt.Answered, "", &attempt.Reply{Status: 200, Body: []byte("sold")})

	again := record.Begin(2*time.Second, try)
	fmt.Println(again.Outcome, string(again.Reply.Body))
	// Output:
	// entry-1 <nil>
	// true
	// answered sold
}
