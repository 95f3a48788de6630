package main

import (
	"context"
	"encoding/csv"
	"fmt"
	"os"
	"path/filepath"
	"strconv"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/boragelane/boragelane/internal/stand/sizing"
)

type capacityArgs struct {
	Dir   string `arg:"positional,required" help:"folder for the table and the plot"`
	Quick bool   `help:"leave out the largest systems"`
}

// run measures the capacity, writes a table and a plot, and prints the projection.
func (a *capacityArgs) run(context.Context) error {
	rows := sizing.Measure(a.Quick)
	file, err := os.Create(filepath.Join(a.Dir, "capacity.csv"))
	if err != nil {
		return err
	}
	w := csv.NewWriter(file)
	_ = w.Write([]string{"measure", "size", "value", "unit"})
	for _, r := range rows {
		_ = w.Write([]string{r.Measure, strconv.FormatFloat(r.Scale, 'g', -1, 64), strconv.FormatFloat(r.Value, 'g', 6, 64), r.Unit})
	}
	w.Flush()
	if err := file.Close(); err != nil {
		return err
	}
	if err := plotControlCost(rows, filepath.Join(a.Dir, "capacity.svg")); err != nil {
		return err
	}
	for _, line := range sizing.Project(rows) {
		fmt.Println(line)
	}
	return nil
}

// plotControlCost plots the control-plane cost of a host against the number of hosts in the system.
func plotControlCost(rows []sizing.Row, file string) error {
	p := plot.New()
	p.Title.Text = "Control for one host, each second"
	p.X.Label.Text, p.Y.Label.Text = "hosts", "bytes both ways, and microseconds of a core"
	var lines []any
	for _, measure := range []string{"relay bytes", "host bytes", "relay cpu", "host cpu"} {
		var points plotter.XYs
		for _, r := range rows {
			if r.Measure == measure {
				points = append(points, plotter.XY{X: r.Scale, Y: r.Value})
			}
		}
		lines = append(lines, measure, points)
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return err
	}
	return p.Save(16*vg.Centimeter, 10*vg.Centimeter, file)
}
