package play

import (
	"io"
	"strconv"
	"strings"
)

// WriteTable writes the means over the seeds, and the spread where there are several, as a Markdown table.
func WriteTable(to io.Writer, rows []Row) error {
	var text strings.Builder

	text.WriteString("| load | policy |")

	for _, column := range figures {
		text.WriteString(" " + column.name + " |")
	}

	text.WriteString("\n|---|---|" + strings.Repeat("---|", len(figures)) + "\n")

	for _, row := range rows {
		text.WriteString("| " + row.Load + " | " + row.Policy + " |")

		for _, column := range figures {
			text.WriteString(" " + row.cell(column) + " |")
		}

		text.WriteString("\n")
	}

	return write(to, text.String())
}

func (r *Row) cell(of figure) string {
	mean, spread := r.mean(of)
	cell := strconv.FormatFloat(mean, 'f', of.digits, 64)

	if len(r.Seeds) > 1 {
		cell += " ±" + strconv.FormatFloat(spread/2, 'f', of.digits, 64)
	}

	return cell
}
