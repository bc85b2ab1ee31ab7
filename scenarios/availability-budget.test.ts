import { runFeature } from '@bulrushbridge/testbed/scenarios'

runFeature(new URL('./availability-budget.feature', import.meta.url))
