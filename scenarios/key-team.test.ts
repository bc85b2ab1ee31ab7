import { runFeature } from '@bulrushbridge/testbed/scenarios'

runFeature(new URL('./key-team.feature', import.meta.url))
