// Command slopes prints how memory, CPU time and message sizes grow with the size of the fleet.
package main

import (
	"os"

	"github.com/chestnutbeam/chestnutbeam/internal/measure/slopes"
)

func main() {
	slopes.Run(os.Stdout)
}
