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

	for _, column := range tableColumns {
		text.WriteString(" " + column.name + " |")
	}

	text.WriteString("\n|---|---|" + strings.Repeat("---|", len(tableColumns)) + "\n")

	for _, row := range rows {
		text.WriteString("| " + row.Workload + " | " + row.Policy + " |")

		for _, column := range tableColumns {
			text.WriteString(" " + row.cell(column) + " |")
		}

		text.WriteString("\n")
	}

	return write(to, text.String())
}

func (r *Row) cell(column tableColumn) string {
	mean, spread := r.mean(column)
	cell := strconv.FormatFloat(mean, 'f', column.decimals, 64)

	if len(r.Results) > 1 {
		cell += " ±" + strconv.FormatFloat(spread/2, 'f', column.decimals, 64)
	}

	return cell
}
