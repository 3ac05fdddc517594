package relay

import (
	"sync"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/timer"
	"github.com/citroncross/citroncross/schema/link"
)

// Whatever another daemon sends must not end the process: each order gets an answer, and each answer is taken or dropped.
func FuzzOrdersAndAnswers(f *testing.F) {
	seed := func(m proto.Message) {
		raw, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	seed(&link.Orders{Orders: []*link.Order{{Number: 1, Worker: "w", TimeoutMs: -1, Start: &link.StartTask{Task: ".", Run: -1}}, {Renew: &link.RenewLease{Base: 9}}, nil}})
	seed(&link.Answers{Answers: []*link.Answer{{Number: 1, Result: 99, Report: &link.Report{Base: 1, Running: []*link.RunningTask{{}}, NotRunning: []string{"x"}}}}})
	f.Fuzz(func(t *testing.T, raw []byte) {
		var orders link.Orders
		if proto.Unmarshal(raw, &orders) == nil {
			var log []string
			workers := &fakeWorkers{mu: &sync.Mutex{}, log: &log}
			stream := &serverStream{server: &Server{Workers: workers, Timer: &timer.Manual{}, Payload: func(citron.TaskRef) (string, bool) { return "", true }}, reports: map[citron.Worker]*baseReport{}}
			for _, o := range orders.GetOrders() {
				if a := stream.carryOut(t.Context(), o); a.GetNumber() != o.GetNumber() {
					t.Errorf("answer %v to order %v", a, o)
				}
			}
		}
		var answers link.Answers
		if proto.Unmarshal(raw, &answers) == nil {
			s := newSession()
			for number := range uint64(4) {
				s.pending[number] = pendingOrder{worker: "w", answer: make(chan *link.Answer, 1)}
			}
			s.deliver(answers.GetAnswers())
			for _, a := range answers.GetAnswers() {
				decodeReport(a.GetReport())
			}
		}
	})
}
