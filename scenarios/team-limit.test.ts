import { runFeature } from '@bulrushbridge/testbed/scenarios'

runFeature(new URL('./team-limit.feature', import.meta.url))
