// Public header of LibConfiguration: the customers' configuration documents, their validation and their store records.
#pragma once

#include <LibConfiguration/Configuration.h>
#include <LibConfiguration/ConfigurationRecord.h>
