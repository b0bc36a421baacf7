package outbox_test

import (
	"context"
	"fmt"
	"time"

	"github.com/marigoldshelf/marigoldshelf/blackboard"
	"github.com/marigoldshelf/marigoldshelf/clock"
	"github.com/marigoldshelf/marigoldshelf/controller"
	"github.com/marigoldshelf/marigoldshelf/outbox"
)

// A row in questions requests I/O; the worker writes the result into answers.
func Example() {
	board := blackboard.New(blackboard.PanicOnNested())
	questions := blackboard.NewTable[string, string](board, "questions", 10)
	answers := blackboard.NewTable[string, string](board, "answers", 20)
	workers := controller.NewPool(clock.NewVirtual(time.Unix(0, 0)), 1)
	outbox.Serve(context.Background(), workers, board, "ask", questions, answers,
		func(_ context.Context, key, question string) string { return "answer to " + question })

	board.Do(func(tx *blackboard.Tx) { questions.Put(tx, "q1", "status?") }, questions.Write())
	const limit = 10
	workers.StepUntilIdle(limit)
	board.Do(func(tx *blackboard.Tx) {
		answer, _ := answers.Get(tx, "q1")
		fmt.Println(answer, questions.Len(tx))
	}, questions.Read(), answers.Read())
	// Output: answer to status? 0
}
