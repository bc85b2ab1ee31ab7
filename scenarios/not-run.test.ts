import { runFeature } from '@bulrushbridge/testbed/scenarios'

runFeature(new URL('./not-run.feature', import.meta.url))
