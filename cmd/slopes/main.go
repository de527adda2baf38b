// Command slopes prints how memory, processor time and message sizes grow with the fleet.
package main

import (
	"os"

	"github.com/chestnutbeam/chestnutbeam/internal/measure/slopes"
)

func main() {
	slopes.Run(os.Stdout)
}
