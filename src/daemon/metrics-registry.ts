/** Registers the metrics of `metricTable` and records their measurements. */
import { Counter, Gauge, Histogram, Registry } from "prom-client";
import {
  metricTable,
  type Measurements,
  type MetricEntry,
  type MetricKey,
} from "../internal.js";

type Metric = Counter | Gauge | Histogram;

export interface RegisteredMetrics {
  readonly registry: Registry;
  readonly measurements: Measurements;
}

export function registerMetrics(
  labels: Readonly<Record<string, string>>,
): RegisteredMetrics {
  const registry = new Registry();
  registry.setDefaultLabels(labels);
  const metrics = new Map<string, Metric>();
  for (const [key, entry] of Object.entries<MetricEntry>(metricTable)) {
    metrics.set(key, createMetric(entry, registry));
  }
  const findMetric = (key: MetricKey): Metric | undefined => metrics.get(key);
  const measurements: Measurements = {
    count: (key, labelValues = {}, amount = 1) => {
      const metric = findMetric(key);
      if (metric instanceof Counter) metric.inc(labelValues, amount);
    },
    set: (key, value, labelValues = {}) => {
      const metric = findMetric(key);
      if (!(metric instanceof Gauge)) return;
      if (value === undefined) metric.remove(labelValues);
      else metric.set(labelValues, value);
    },
    observe: (key, value, labelValues = {}) => {
      const metric = findMetric(key);
      if (metric instanceof Histogram) metric.observe(labelValues, value);
    },
  };
  return { registry, measurements };
}

function createMetric(entry: MetricEntry, registry: Registry): Metric {
  const { name, meaning: help, unit, labels, kind, buckets = [] } = entry;
  const options = {
    name,
    help: `${help} Unit: ${unit}.`,
    labelNames: [...labels],
    registers: [registry],
  };
  switch (kind) {
    case "counter":
      return new Counter(options);
    case "gauge":
      return new Gauge(options);
    case "histogram":
      return new Histogram({ ...options, buckets: [...buckets] });
  }
}
