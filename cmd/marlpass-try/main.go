// Command marlpass-try shows marlpass at work on one machine.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/marlpass/marlpass/internal/try"
)

func main() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if err := try.Run(ctx, os.Stdout); err != nil {
		fmt.Println("try: failed", err)
		os.Exit(1)
	}
}
