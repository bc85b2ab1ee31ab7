import { runFeature } from '@bulrushbridge/testbed/scenarios'

runFeature(new URL('./key-withdrawal.feature', import.meta.url))
