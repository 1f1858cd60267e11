package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
)

// Run is a stub.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	n, _ := strconv.Atoi(args[0])
	p, err := MeasureMesh(ctx, DefaultMesh(n, args[1]))
	fmt.Fprintln(stderr, err)
	json.NewEncoder(stdout).Encode(p)
	return 0
}
