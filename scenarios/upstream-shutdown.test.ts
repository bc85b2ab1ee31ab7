import { runFeature } from '@bulrushbridge/testbed/scenarios'

runFeature(new URL('./upstream-shutdown.feature', import.meta.url))
