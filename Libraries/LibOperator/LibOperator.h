// Public header of LibOperator: the operators' query and command language, and its HTTP interface.
#pragma once

#include <LibOperator/Answer.h>
#include <LibOperator/OperatorServer.h>
#include <LibOperator/Statement.h>
#include <LibOperator/StatementEvaluator.h>
