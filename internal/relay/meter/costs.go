package meter

import (
	"github.com/prometheus/client_golang/prometheus"

	"cardamomscale.example/cardamomscale/internal/relay/decider"
)

// costs collects what is learned of the costs of requests when metrics are read.
type costs struct{ stats func() decider.CostStats }

var (
	costServicesDesc = prometheus.NewDesc("cardamom_cost_services", "Services whose targets state the pace of their machines, so that costs are learned.", nil, nil)
	costTargetsDesc  = prometheus.NewDesc("cardamom_cost_targets", "Targets whose speed or pace is known.", nil, nil)
	costKindsDesc    = prometheus.NewDesc("cardamom_cost_kinds", "Kinds of requests whose cost is learned.", nil, nil)
	costErrorDesc    = prometheus.NewDesc("cardamom_cost_error_ratio", "Mean difference between the expected and the actual time of answers, as a share of the former.", nil, nil)
	costRatioDesc    = prometheus.NewDesc("cardamom_cost_actual_ratio", "Mean actual time of answers divided by the mean expected time.", nil, nil)
)

// Describe implements prometheus.Collector.
func (c costs) Describe(descs chan<- *prometheus.Desc) {
	for _, desc := range []*prometheus.Desc{costServicesDesc, costTargetsDesc, costKindsDesc, costErrorDesc, costRatioDesc} {
		descs <- desc
	}
}

// Collect implements prometheus.Collector.
func (c costs) Collect(metrics chan<- prometheus.Metric) {
	s := c.stats()
	for desc, value := range map[*prometheus.Desc]float64{
		costServicesDesc: float64(s.Services), costTargetsDesc: float64(s.Targets), costKindsDesc: float64(s.Kinds),
		costErrorDesc: s.Error, costRatioDesc: s.Ratio,
	} {
		metrics <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, value)
	}
}
