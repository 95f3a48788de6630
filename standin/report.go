package main

import (
	"context"
	"fmt"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/boragelane/boragelane/platform"
)

type reportArgs struct {
	Journal string `arg:"positional,required" help:"folder with the bench's journal"`
	Dir     string `arg:"positional,required" help:"folder for the plots"`
}

// fixedDays are the days that are plotted; randomly generated days differ between runs and can't be compared.
var fixedDays = []string{"quiet-1", "trouble-1", "trouble-2", "trouble-3", "scale-1", "scale-2"}

// run writes two plots for each site: the worth of the fixed days, and their numbers of calls to the store.
func (a *reportArgs) run(context.Context) error {
	results, err := platform.ReadJournal(a.Journal)
	if err != nil {
		return err
	}
	sites := map[string][]platform.DayResult{}
	for _, r := range results {
		if r.Site != "" && !r.NoCPU {
			sites[r.Site] = append(sites[r.Site], r)
		}
	}
	for site, list := range sites {
		worth := func(r platform.DayResult) float64 { return r.Worth }
		calls := func(r platform.DayResult) float64 { return r.StoreCalls }
		if err := plotDays("Worth of the days of "+site, "worth", list, worth, filepath.Join(a.Dir, "worth-"+site+".svg")); err != nil {
			return err
		}
		if err := plotDays("Calls to the store, "+site, "calls a day", list, calls, filepath.Join(a.Dir, "calls-"+site+".svg")); err != nil {
			return err
		}
		fmt.Println(site+":", len(list), "days")
	}
	return nil
}

// plotDays plots a value of each result in order of time, with one line per fixed day.
func plotDays(title, label string, results []platform.DayResult, value func(platform.DayResult) float64, file string) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "round", label
	p.Legend.Top = true
	var lines []any
	for _, day := range fixedDays {
		var points plotter.XYs
		for i, r := range results {
			if r.Day == day {
				points = append(points, plotter.XY{X: float64(i), Y: value(r)})
			}
		}
		if len(points) > 0 {
			lines = append(lines, day, points)
		}
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return err
	}
	return p.Save(18*vg.Centimeter, 10*vg.Centimeter, file)
}
