// Command chestnutbeam runs every process of the system and the operators' command line.
package main

import (
	"fmt"

	"github.com/alexflint/go-arg"
)

const usageText = "Serving layer for many LoRA adapters and plain services."

type arguments struct{}

// Description implements go-arg's description.
func (arguments) Description() string {
	return usageText
}

func main() {
	var args arguments

	arg.MustParse(&args)
	fmt.Println(usageText)
}
